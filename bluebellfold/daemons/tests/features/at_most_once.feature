Feature: An order runs at most once

  Scenario: Datagrams are lost, duplicated and reordered
    Given a site with 2 upstreams
    When 16 clients send orders through a lossy, duplicating and reordering fabric
    Then every order receives its response and ran exactly once

  Scenario: Two balancers disagree about a flow's home
    Given a site whose upstream has a small weight
    And balancer-2 is paused while an upstream of a large weight joins
    When clients open flows, and balancer-2 resumes with their first flights
    Then two agents hold a flow of the same client
    When each of the clients sends an order
    Then every order receives its response and ran exactly once

  Scenario: The agent is killed while the order runs
    Given a site with 1 upstreams
    When the agent of a running order is killed and another one starts
    Then the order is not reported as not run
    And the order ran once
    And an order on a new flow receives its response

  Scenario: The upstream closes connections before it responds
    Given a site with 1 upstreams
    When the upstream closes its connections just before it responds
    Then the outcome of an order is unknown and it ran once
    And a repeatable batch ran again
