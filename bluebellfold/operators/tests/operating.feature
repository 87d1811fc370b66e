Feature: Operating a running site

  Scenario: A configuration reaches every process
    Given a site with two balancers and an agent
    When the operator lowers the share of orders and applies the files
    Then every process has the applied version in force
    And applying the same files again changes nothing

  Scenario: Key files are reloaded without a restart
    Given a site with two balancers and an agent
    When the operator rotates the keys and signals every process
    Then every process has reloaded its files
    And every process is still serving

  Scenario: Invalid key files are rejected and the old keys stay in use
    Given a site with two balancers and an agent
    When the operator corrupts the keys and signals every process
    Then every process has rejected its files
    And every process is still serving

  Scenario: A drained agent stops
    Given a site with two balancers and an agent
    When the operator drains the agent and waits
    Then the agent has stopped without a further error
    And the metrics of the agent are in its metrics file
    And status shows only the balancers
