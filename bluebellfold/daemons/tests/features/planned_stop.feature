Feature: Every planned stop is graceful and interrupts no request

  Background:
    Given a site with 3 balancers and 2 upstreams of counter

  Scenario: All balancers but one are stopped while orders run
    Given 8 orders of 800 ms are in progress
    When balancers 1 and 2 are asked to stop
    And the process is asked to stop again
    Then every order receives the digest of its body
    And the process exits gracefully

  Scenario: An agent is stopped while orders run and are queued
    Given 8 orders of 800 ms are in progress
    When the agent of counter-1 is asked to stop
    And the process is asked to stop again
    Then every order receives the digest of its body
    And the process exits gracefully
    And the process logged once that 0 flows and 0 requests were open

  Scenario: An upstream is stopped after its agent has drained
    Given 8 orders of 800 ms are in progress
    When the agent of counter-1 is drained and exits
    And the upstream counter-1 is asked to stop
    Then every order receives the digest of its body
    And 6 new orders are served by counter-2

  Scenario: The drain deadline passes while feeds are open
    Given a configuration with a drain of 2 seconds is applied
    And 6 feeds run
    When the agent of counter-1 is asked to stop
    And the process is asked to stop again
    Then the process exits gracefully
    And its feeds were closed without an error
    And the process logged once what was still open
    And the feeds of counter-2 continue without a gap

  Scenario: An agent is replaced by another one on its VM
    Given 6 feeds run
    When a replacement for the agent of counter-1 is started
    And the agent of counter-1 is asked to stop
    Then every feed continues without a gap
    And new feeds reach counter-1 through the replacement
    When the clients of the old agent's feeds close them
    Then the process exits gracefully
    And the process logged once that 0 flows and 0 requests were open
    And every feed continues without a gap
