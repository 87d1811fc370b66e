Feature: Membership is updated by announcements during failures

  Scenario: A paused agent is avoided and returns after a probe
    Given a site with two agents of counter
    And the platform is unavailable
    When agent-counter-1 is paused
    Then every order is served by counter-2
    When agent-counter-1 resumes
    Then orders reach counter-1 again

  Scenario: A killed agent is avoided and returns after a restart
    Given a site with two agents of counter
    And the platform is unavailable
    When agent-counter-1 is killed
    Then every order is served by counter-2
    When agent-counter-1 starts again
    Then orders reach counter-1 again

  Scenario: All balancers restart while the agents cannot announce themselves
    Given a site with two agents of counter
    When the agents are paused and all balancers restart
    Then the balancers know both agents

  Scenario: A paused lease holder resumes
    Given a process that holds a lease
    When the process is paused until another one has written with the lease
    And the process resumes and writes
    Then its write fails because the lease has lapsed
    And the object is as the other process wrote it
