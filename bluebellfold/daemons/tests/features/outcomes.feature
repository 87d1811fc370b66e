Feature: A client receives the actual outcome of each request

  Scenario: The upstream connection is cut at every step
    Given a site with one upstream
    When the connection is cut at each step of an exchange
    Then each outcome agrees with the upstream's record
    And each cut order has an unknown outcome or a broken response
    And no order ran more than once

  Scenario: Refused orders did not run
    Given a site with one upstream
    When more orders arrive than the upstream admits
    And an order arrives with a deadline of 0 ms
    And the upstream sheds an order
    Then each outcome agrees with the upstream's record
    And some orders were answered and the others were not run
    And no order ran more than once

  Scenario: The upstream is killed
    Given a site with one upstream
    When the upstream is killed and an order arrives
    Then the order is not run because no connection could be opened
