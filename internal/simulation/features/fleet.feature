Feature: What many routers do together

  Routers share nothing. Each of these tells what their sum does to the workers and to the clients.

  Scenario Outline: A drain is kept by every router
    Given <routers> routers before 36 workers that <cold>
    And 1500 calls a second for 6 s
    When after 2 s worker 5 is <state>, which each router is told within 1500 ms
    Then nothing goes to worker 5 later than a router's grace
    And each call has one answer within its time
    And at least 95 in 100 calls are served

    Examples:
      | routers | cold            | state    |
      | 80      | answer misses   | draining |
      | 300     | answer misses   | gone     |
      | 80      | load by the way | gone     |
      | 300     | load by the way | draining |

  Scenario Outline: A worker that has just started is not pushed over by all together
    Given <routers> routers before 20 workers that load by the way
    And 1500 calls a second for 6 s
    When after 2 s a worker starts, which each router is told within 200 ms
    Then in no second does it get more calls than its capacity allows
    And it gets some calls
    And each call has one answer within its time

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: Routers that end answer what they took and refuse what comes later
    Given <routers> routers before 36 workers that answer misses
    And 1500 calls a second for 6 s
    When after 2 s a tenth of the routers are told to end
    Then each call has one answer within its time
    And what comes to a router past its linger is refused
    And at least 95 in 100 calls are served
    And the routers that were told to end have ended

    Examples:
      | routers |
      | 80      |
      | 300     |

  Scenario Outline: A tenant that floods does not take the others' service
    Given <routers> routers before 12 workers that load by the way
    And tenant "large" has an allowance of 1200 calls a second, and "small" of 300
    And 250 calls a second of tenant "small" for 6 s
    And <flood> calls a second of tenant "large" for 6 s
    When 6 s pass
    Then at least <served> in 100 calls of tenant "small" are served in time
    And each call has one answer within its time

    Examples:
      | routers | flood | served |
      | 2       | 900   | 95     |
      | 2       | 7200  | 50     |
      | 80      | 7200  | 60     |
