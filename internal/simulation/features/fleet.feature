Feature: What many routers do together

  Routers share no state. Each scenario checks what their sum does to the workers and to the clients.

  Scenario Outline: Every router follows a drain
    Given <routers> routers in front of 36 workers that <not loaded>
    And 1500 requests per second for 6 s
    When after 2 s worker 5 is <state>, of which each router is notified within 1500 ms
    Then nothing is sent to worker 5 after a router's drain grace period
    And each request has one response within its timeout
    And at least 95 in 100 requests are served

    Examples:
      | routers | not loaded                           | state    |
      | 80      | reject functions that are not loaded | draining |
      | 300     | reject functions that are not loaded | gone     |
      | 80      | load functions on demand             | gone     |
      | 300     | load functions on demand             | draining |

  Scenario Outline: A worker that has just started is not overloaded by all routers together
    Given <routers> routers in front of 20 workers that load functions on demand
    And 1500 requests per second for 6 s
    When after 2 s a worker starts, of which each router is notified within 200 ms
    Then in no second does it receive more requests than its capacity allows
    And it receives some requests
    And each request has one response within its timeout

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: Terminated routers answer what they accepted and reject what comes later
    Given <routers> routers in front of 36 workers that reject functions that are not loaded
    And 1500 requests per second for 6 s
    When after 2 s a tenth of the routers are terminated
    Then each request has one response within its timeout
    And what comes to a router past its grace period is rejected
    And at least 95 in 100 requests are served
    And the terminated routers have ended

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: A tenant that floods does not take the service of others
    Given <routers> routers in front of 12 workers that load functions on demand
    And tenant "large" has a quota of 1200 requests per second, and "small" of 300
    And 250 requests per second of tenant "small" for 6 s
    And <flood> requests per second of tenant "large" for 6 s
    When 6 s pass
    Then at least <served> in 100 requests of tenant "small" are served in time
    And each request has one response within its timeout

    Examples:
      | routers | flood | served |
      | 2       | 900   | 95     |
      | 2       | 7200  | 50     |
      | 80      | 7200  | 60     |
