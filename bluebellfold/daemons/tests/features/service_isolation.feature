Feature: No packet reaches another service

  Scenario: Forged, misdirected and replayed packets
    Given a site where counter has served an order on an open flow
    When the flow's packets are replayed, forged and sent to other addresses
    Then the balancers drop the forged and the misdirected packets
    And the order ran once and nothing else ran
    And the flow is still served

  Scenario: Another service takes over an upstream's address
    Given a site with a feed open at one upstream
    And balancer-3 is paused
    When an upstream of makeroom takes over that upstream's address
    Then the other balancers remove the former agent
    When the feed's client continues to send
    And orders arrive at balancer-3 as it resumes
    Then every order ran once at counter
    And makeroom ran nothing
