Feature: Established flows survive planned changes
  Feeds and uploads run throughout. Their datagrams are sprayed over all
  balancers.

  Background:
    Given a site with 3 balancers, 2 upstreams of counter and 1 of makeroom
    And 12 feeds and 2 uploads run

  Scenario: Every balancer is replaced in turn
    When every balancer is replaced in turn
    Then every feed continues without a gap
    And every upload receives the digest of its body

  Scenario: Upstreams are added and drained, and the configuration changes
    When an upstream of counter is added
    And new feeds reach the added upstream
    And an upstream of counter drains
    And a configuration with other shares and candidates is applied
    Then every feed continues without a gap
    And every upload receives the digest of its body

  Scenario: The weight of an upstream changes
    When the weight of an upstream of counter becomes 3
    Then every balancer and agent knows the weight
    And every feed continues without a gap
    And every upload receives the digest of its body

  Scenario: The keys rotate twice
    When the keys rotate twice through both steps
    Then every feed continues without a gap
    And every upload receives the digest of its body
    And no packet was dropped for an unknown key

  Scenario: A balancer is replaced during a platform outage
    When the platform is killed
    And balancer 1 is replaced gracefully
    And an upstream of counter is added
    And new feeds reach the added upstream
    Then every feed continues without a gap
    And every upload receives the digest of its body
