Feature: Flows from clients to upstreams through separate processes
  Every datagram of every flow goes through a randomly selected balancer.

  Scenario: Every byte is returned
    Given a site with 3 balancers and 2 upstreams
    When 6 clients post orders of 100000 bytes
    And 4 clients follow feeds
    Then every feed continues without a gap
    And every order receives the digest of its body
    And each balancer forwarded datagrams of orders and feeds

  Scenario: Killing and replacing balancers breaks no flow
    Given a site with 3 balancers and 2 upstreams
    And 6 clients follow feeds
    When balancer 1 is killed
    Then every feed continues without a gap
    When the fabric stops using balancer 1
    And balancer 2 is replaced gracefully
    Then every feed continues without a gap
