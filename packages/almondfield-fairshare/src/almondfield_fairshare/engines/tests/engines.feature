Feature: Admission of prompts to model engines

  Scenario: Prompts with the same prefix go to the same engine
    Given 6 engines
    When prompts with 30 prefixes of 13000 tokens arrive 20 times a second for 20 s
    Then every prefix was prefilled by at most 2 engines
    And at least 0.95 of the requests were admitted

  Scenario: Admitted requests meet their target at twice the engines' capacity
    Given 6 engines
    When 8 teams request 2.0 times the engines' capacity for 20 s
    Then at least 0.95 of the answers began within 0.8 s
    And the engines were busy for at least 0.85 of the time

  Scenario: An overloading team does not reduce the shares of the others
    Given 6 engines
    When team "flood" requests 4.0 times the engines' capacity beside 7 small teams
    Then each small team had at least 0.9 of its requests admitted
    And the engines were busy for at least 0.85 of the time

  Scenario: Two overloading teams get equal shares
    Given 6 engines
    When teams "a" and "b" request 2.0 and 4.0 times the engines' capacity
    Then the work of "a" and "b" differs by less than 0.25 of the larger

  Scenario: A single team may use the whole capacity
    Given 6 engines
    When team "alone" requests 0.8 times the engines' capacity for 10 s
    Then at least 0.95 of the requests were admitted

  Scenario: A slow engine gets fewer prompts
    Given 6 engines, one with a fifth of the prefill rate
    When 8 teams request 0.6 times the engines' capacity for 20 s
    Then at least 0.9 of the answers began within 0.8 s

  Scenario: An excluded server is not chosen
    Given 2 engines
    When a request excludes "engine-0"
    Then it is admitted at "engine-1"

  Scenario: Requests are refused while there are no engines
    Given 2 engines
    When all engines are removed
    Then a request is refused

  Scenario: A restarted server has an empty prefix cache
    Given 1 engines
    And a prompt that "engine-0" has cached
    When "engine-0" restarts
    Then the whole prompt counts as uncached

  Scenario: A new scheduler follows the hint of a router
    Given 6 engines
    When a request has the hint "engine-3"
    Then it is admitted at "engine-3"

  Scenario: A new scheduler receives the requests in flight
    Given 1 engines
    When a router restores 20 prompts of 10000 tokens at "engine-0"
    Then a request is refused

  Scenario: Requests whose end is not reported expire
    Given 1 engines
    And a router restores 20 prompts of 10000 tokens at "engine-0"
    When 25 s pass
    Then a request is admitted

  Scenario: The requests of a lost router are dropped
    Given 1 engines
    And a router restores 20 prompts of 10000 tokens at "engine-0"
    When that router is lost
    Then a request is admitted

  Scenario: A refusal has a retry time within the window
    Given 1 engines
    When team "flood" requests 4.0 times the engines' capacity beside 1 small teams
    Then every refusal had a retry time between 0.1 and 4.0 s

  Scenario: Mostly idle engines refuse no team
    Given 3 engines
    And a prompt that "engine-0" has cached
    And a team that has used twice its share
    When a request of that team arrives while "engine-0" prefills 20000 tokens
    Then it is admitted at "engine-1"

  Scenario: A cached prompt waits for its engine if the wait is short
    Given 3 engines
    And a prompt that "engine-0" has cached
    And a team that has used twice its share
    When a request of that team arrives while "engine-0" prefills 2000 tokens
    Then it is admitted at "engine-0"

  Scenario: A request that lost its engine is admitted while its caller still waits
    Given 2 engines
    And a router restores 20 prompts of 10000 tokens at "engine-0"
    And a router restores 5 prompts of 10000 tokens at "engine-1"
    And a team that has used twice its share
    When a request that lost its engine is repeated
    Then it is admitted at "engine-1"

  Scenario: A request that lost its engine is refused if its caller would leave first
    Given 2 engines
    And a router restores 20 prompts of 10000 tokens at "engine-0"
    And a router restores 10 prompts of 10000 tokens at "engine-1"
    When a request that lost its engine is repeated
    Then it is refused

  Scenario: Many requests that lose their engines at once do not displace the others
    Given 6 engines
    And 400 requests that lost their engine arrive after 5.0 s
    When 8 teams request 0.7 times the engines' capacity for 12 s
    Then at least 0.7 of the other requests between 6.0 and 9.0 s were admitted

  Scenario: Under overload, requests that can still meet their target go first
    Given 6 engines
    And callers that retry once, at the retry time of the refusal
    When team "flood" requests 5.0 times the engines' capacity beside 3 small teams
    Then at least 0.9 of the answers to "flood" began within 0.8 s of the first try
    And the engines were busy for at least 0.85 of the time

  # Guards against a team above its share whose answers go to callers that come back: they
  # are too late, and take the place of those that could be answered in time.
  Scenario: Callers that return to a busy fleet are known, whatever their deadlines are
    Given 6 engines
    And callers that retry once, at the retry time of the refusal
    And callers whose deadlines differ
    When team "flood" requests 5.0 times the engines' capacity beside 3 small teams
    Then at least 0.9 of the answers to "flood" began within 0.8 s of the first try
    And the engines were busy for at least 0.85 of the time

  Scenario: A caller that returns to idle engines is admitted
    Given 6 engines
    And a team whose share is 2 requests in the window
    When a request is refused and comes back 1.0 s later to idle engines
    Then it is admitted at "engine-0"

  # Guards against hot teams that are refused beside engines which could do twice as much
  # as the nominal rate says.
  Scenario: Hot teams share what the engines can do, not only the nominal rate
    Given 6 engines whose nominal rate is 0.5 of what they can do
    When 3 teams request 0.5 times the engines' capacity each beside 3 small teams for 20 s
    Then the engines were busy for at least 0.9 of the time
    And at least 0.9 of the answers began within 0.8 s
    And each small team had at least 0.95 of its requests admitted
    And no hot team got more than 1.25 times the work of another

  # Guards against hot teams that are given what engines could prefill, while their slots are
  # taken by long answers: everyone's prompts then wait for a slot.
  Scenario: Hot teams share what the slots allow where answers are long
    Given 6 engines with 12 slots, whose nominal rate is what they allow for answers of 3 s
    When 3 teams request 1.0 times what the slots allow beside 3 small teams for 20 s
    Then at least 0.9 of the answers began within 0.8 s
    And each small team had at least 0.9 of its requests admitted
    And no hot team got more than 1.25 times the work of another

  # Guards against one estimate of the engines' rate that takes the share of the others.
  Scenario: A nominal rate above what the engines can do does not let one team take all
    Given 6 engines whose nominal rate is 1.5 of what they can do
    When 3 teams request 0.5 times the engines' capacity each beside 3 small teams for 20 s
    Then at least 0.9 of the answers began within 0.8 s
    And each small team had at least 0.9 of its requests admitted
    And no hot team got more than 1.25 times the work of another

  # Guards against SHORT: the time that first events are on their way counted as prefill, so
  # that idle engines were taken for busy ones and prompts were refused.
  Scenario: Engines whose first events are long on their way are used as far as they can
    Given 6 engines whose first events take 0.2 s beyond the prefill
    When 8 teams request 1.5 times the engines' capacity in prompts of 1000 tokens for 20 s
    Then the engines were busy for at least 0.85 of the time
    And at least 0.9 of the answers began within 0.8 s

  # Guards against prompts that wait for the whole target, without the delay after prefill.
  Scenario: Prompts wait less where first events are long on their way
    Given 6 engines whose first events take 0.2 s beyond the prefill
    And callers with a latency target of 0.5 s
    When 8 teams request 1.5 times the engines' capacity for 20 s
    Then the engines were busy for at least 0.85 of the time
    And at least 0.9 of the answers began within 0.5 s

  # Guards against engines that are always full, whose answers confirm any estimate.
  Scenario: An estimate of the delay that no idle engine confirms falls
    When the delay of answers is 0.2 s, and those of 200 queued prompts vary around the estimate
    Then the estimated delay is at most 0.15 s

  # Guards against SHORT: teams shared what engines that seemed busy had done until then.
  Scenario: Hot teams share all of the engines whose first events are long on their way
    Given 6 engines whose first events take 0.2 s beyond the prefill
    When 3 teams request 0.5 times the engines' capacity each beside 3 small teams for 20 s
    Then the engines were busy for at least 0.85 of the time
    And at least 0.9 of the answers began within 0.8 s
    And each small team had at least 0.9 of its requests admitted
    And no hot team got more than 1.25 times the work of another

  Scenario: A late request of a team within its share is admitted
    Given 2 engines
    When a request that has waited 3.0 s arrives
    Then it is admitted at "engine-0"

  Scenario: One full engine does not limit the teams on the other engines
    Given 12 engines
    And a router that can use only "engine-0", which has a long prefill queue
    When team "flood" requests 0.6 times the engines' capacity beside 5 small teams
    Then each small team had at least 0.95 of its requests admitted
    And team "flood" had at least 0.9 of its requests admitted

  Scenario: Large prompts within the share are admitted while half of the engines are idle
    Given 8 engines
    When prompts with 4 prefixes of 24000 tokens and 6000 unique tokens arrive 18 times a second with a target of 0.5 s
    Then at least 0.99 of the requests were admitted
    And the engines were busy for at most 0.7 of the time

  Scenario: Requests are not sent to engines that do not answer
    Given 6 engines with 6.0 s of work that is unknown to the scheduler
    And callers with a timeout of 2.0 s
    When 8 teams request 2.0 times the engines' capacity for 12 s
    Then at most 0.15 of the admitted callers timed out

  Scenario: An engine that refused a request as full gets none for a short time
    Given 2 engines
    When "engine-0" refuses a request as full
    Then the next 3 requests are admitted at "engine-1"

  Scenario: Admissions that arrive too late to be sent are counted
    Given 2 engines
    When a request is admitted, but its router gives up before it is told
    Then the load has 1 admitted and 1 unsent request

  # Guards against FAIR: a team was charged for admissions that were never sent.
  Scenario: Admissions that arrive too late to be sent are not charged to the team
    Given 2 engines
    And a team whose share is 2 requests in the window
    When 6 requests are admitted, but their routers give up before they are told
    Then the team has used 0 of its share

  # Guards against a grant that is found again only while the clock stands still.
  Scenario: Admissions are taken back on a running clock
    When 6 requests are admitted on a running clock, but none is sent
    Then the usage of their team was 0

  Scenario: Requests that an engine refused as full are not charged to the team
    Given 2 engines
    And a team whose share is 2 requests in the window
    When "engine-0" refuses a request as full
    Then the team has used 0 of its share

  Scenario: Requests that an engine answered are charged to the team
    Given 2 engines
    And a team whose share is 2 requests in the window
    When a request is admitted and answered
    Then the team has used 0.5 of its share

  Scenario: Spare capacity goes to the team with the lower usage
    Given 6 engines
    And team "b" has used 4 times its share, and team "a" 2 times
    When team "a" is refused, and team "b" sends a request while the engines are idle
    Then it is refused
    When 1.0 s pass
    And team "b" sends a request while the engines are idle
    Then it is admitted

  Scenario: Teams without recent requests are dropped
    Given 1 engines
    When 50 teams send one request each
    And 25 s pass
    Then the scheduler has no record of any team
