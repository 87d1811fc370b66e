Feature: A client receives the complete response to its own request

  Scenario: Answers come in another order than the requests
    Given a site with two upstreams
    When batches of various lengths and durations share each client's flow
    Then every response is the digest of its own batch

  Scenario: A response misses its deadline
    Given a site with two upstreams
    When a batch takes longer than its deadline, and others follow it
    Then the outcome of the late batch is unknown
    And every response is the digest of its own batch
    And the upstream saw the late batch cancelled
