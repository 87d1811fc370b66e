Feature: Requests reach their own service while addresses change

  Scenario: Processes are one configuration behind
    Given a site with two upstreams of makeroom
    When a new kind of work is added while balancer-3 and an agent are paused
    Then requests of the new kind are served by makeroom
    And requests of the new kind are served by makeroom after both resume
    And counter ran nothing

  Scenario: An address moves from one service to another
    Given a site with a batch in progress on a flow
    When an operator moves batches to counter
    Then the command fails with the remedy to add another kind
    When the move is written without the check while balancer-3 is paused
    And batches arrive at every balancer as balancer-3 resumes
    Then counter runs each new batch once
    And the batch in progress is served by makeroom
    And a new batch on the old flow never runs at counter
