Feature: A draining upstream gets no new work

  Scenario: One balancer is paused during a platform outage
    Given a site with a feed open at one upstream
    And the platform is unavailable
    And balancer-3 is paused
    When the upstream drains and balancer-1 and balancer-2 know it
    And orders arrive at balancer-3 as it resumes
    Then every order is served by another upstream
    And the feed continues

  Scenario: Orders arrive before any balancer knows
    Given a site with a feed open at one upstream
    And every balancer is paused
    When the upstream drains
    And orders arrive at every balancer as it resumes
    Then every order is served by another upstream
    And the feed continues

  Scenario: A new request arrives on an old flow
    Given a site with an order served on a flow that stays open
    When the upstream drains
    And another order arrives on the old flow
    Then the order is refused as not run
    And the client of the old flow is told to open another flow
