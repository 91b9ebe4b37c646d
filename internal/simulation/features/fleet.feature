Feature: Combined behavior of many routers

  Routers share no state. Each scenario checks how all of them together affect the workers and the clients.

  Scenario Outline: No router sends to a worker after its drain grace period
    Given <routers> routers in front of 36 workers that <not loaded>
    And 1500 requests per second for 6 s
    When after 2 s worker 5 is <state> and each router is notified within 1500 ms
    Then nothing is sent to worker 5 after a router's drain grace period
    And each request has one response within its timeout
    And at least 95 in 100 requests are served

    Examples:
      | routers | not loaded                           | state    |
      | 80      | reject functions that are not loaded | draining |
      | 300     | reject functions that are not loaded | gone     |
      | 80      | load functions on demand             | gone     |
      | 300     | load functions on demand             | draining |

  Scenario Outline: All routers together do not overload a worker that has just started
    Given <routers> routers in front of 20 workers that load functions on demand
    And 1500 requests per second for 6 s
    When after 2 s a worker starts and each router is notified within 200 ms
    Then the started worker never receives more requests within a second than its capacity allows
    And the started worker receives some requests
    And each request has one response within its timeout

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: Terminated routers respond to the requests they accepted and reject later ones
    Given <routers> routers in front of 36 workers that reject functions that are not loaded
    And 1500 requests per second for 6 s
    When after 2 s a tenth of the routers are terminated
    Then each request has one response within its timeout
    And requests that reach a router after its grace period are rejected
    And at least 95 in 100 requests are served
    And the terminated routers have exited

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: A flood of requests from one tenant does not starve the other tenants
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
