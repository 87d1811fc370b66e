Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a site with a configuration in force everywhere

  Scenario: Two operators apply changes concurrently
    When two operators apply different changes to the same version
    Then one command succeeds and the other exits with 3 and a remedy
    And the successful change is in force everywhere

  Scenario: The response to the write is lost
    When the platform loses the response to an operator's write
    Then the command reports that the change is in force
    And the change was written once
    And the change is in force everywhere

  Scenario: A balancer and an agent restart during a platform outage
    Given another configuration in force everywhere
    When balancer-2 and the agent restart while the platform is unavailable
    Then the newer configuration is in force everywhere

  Scenario: A paused balancer resumes with an old version
    When balancer-3 is paused, a change is applied and balancer-3 resumes
    Then the newer configuration is in force everywhere

  Scenario: The platform returns versions older than the one in force
    Given another configuration in force everywhere
    When the platform's reads become stale and the balancers read again
    Then the newer configuration is in force everywhere
