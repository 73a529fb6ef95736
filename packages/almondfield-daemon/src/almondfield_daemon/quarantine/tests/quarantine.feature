Feature: A part of prompts that ends servers is quarantined at all routers

  Background:
    Given control hosts c1 to c3 and routers r1 to r3

  # Guards against BUDGET: each router alone sees too few ends of servers.
  Scenario: Three servers that end under one part at several routers quarantine it everywhere
    Given prompt "c t1" was answered soundly at router r1
    When servers end 0.3 s apart under "c bad o1" at r1, "bad c o2" at r2 and "c t1 bad o3" at r3
    Then after 0.3 s all routers refuse "c bad o4" for 290 to 300 s
    And all routers accept "c t1 o5" and "bad"

  # Guards against LOST: sound requests share all the parts but one.
  Scenario: A first part that all requests share isn't blamed, though nobody knows it as sound
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    Then after 0.3 s all routers refuse "c bad o4" for 290 to 300 s
    And all routers accept "c t1 o5"
    When prompt "c t1 o6" is answered soundly at router r3
    Then after 0.3 s all routers refuse "d bad o7" for 290 to 300 s
    And all routers accept "c t1 o8"

  # Guards against BUDGET: a part beside another one that is never seen without it.
  Scenario: Parts that are blamed together are told apart by two further servers
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    And servers end 0.3 s apart under "d bad o4" at r1, "d bad o5" at r2
    Then after 0.3 s all routers refuse "e bad o6" for 250 to 300 s
    And all routers accept "c t1 o7"

  # Guards against LOST: a server ends with all that it runs, sound prompts among them.
  Scenario: Sound prompts that end with the servers aren't blamed
    When server s1 ends under "c bad o1" at r1, "c x o2" at r2 and "c y o3" at r3
    And 0.3 s pass
    And server s2 ends under "c bad o1" at r1, "c x o2" at r2 and "c z o3" at r3
    And 0.3 s pass
    And server s3 ends under "c bad o4" at r3, "c z o5" at r2 and "c y o3" at r3
    And 0.3 s pass
    And server s4 ends under "c bad o4" at r3 and "c z o5" at r2
    And 0.3 s pass
    And server s5 ends under "d x o2" at r2
    Then after 0.3 s all routers refuse "c bad o9" for 290 to 300 s
    And all routers accept "d x o9", "c x o2", "c y o3" and "c z o5"

  # Guards against BUDGET: a part that goes free as another one was in the same crashes.
  Scenario: Of two parts in the same crashes, but in other prompts, both are refused
    When server s1 ends under "c bad o1" at r1, "c x o2" at r2 and "c y o3" at r3
    And 0.3 s pass
    And server s2 ends under "c bad o1" at r1, "c x o2" at r2 and "c y o3" at r3
    And 0.3 s pass
    And server s3 ends under "c bad o4" at r3 and "c x o5" at r2
    Then after 0.3 s all routers refuse "c bad o9" for 290 to 300 s
    And all routers accept "c y o6" and "c z o5"
    When prompt "c x o7" is answered soundly at router r2
    Then after 0.3 s all routers refuse "d bad o9" for 290 to 300 s
    And all routers accept "c x o8" and "c z o5"

  # Guards against BUDGET: a decision that fails when the part to blame is in two groups, as the
  # narrower quarantine replaces both.
  Scenario: A part that was blamed in two groups is refused with any other after two further servers
    When server s1 ends under "c x o1" at r1 and "c y o2" at r2
    And 0.3 s pass
    And server s2 ends under "c x o1" at r1 and "c y o2" at r2
    And 0.3 s pass
    And server s3 ends under "c x o3" at r3 and "c y o4" at r2
    And 0.3 s pass
    And servers end 0.3 s apart under "c p o5" at r1 and "c q o6" at r2
    Then after 0.3 s all routers refuse "c z o7" for 290 to 300 s
    And all routers accept "x", "p o8" and "q o9"

  # Guards against BUDGET: requests with the part share nothing else.
  Scenario: A part that comes with others each time is refused with any other
    When servers end 0.3 s apart under "c bad o1" at r1, "d bad o2" at r2 and "bad e o3" at r1
    Then after 0.3 s all routers refuse "f bad o4" for 290 to 300 s
    And all routers accept "c t o5", "d t o5" and "e t o5"

  # Guards against LOST: many servers end at once, by a power failure for instance.
  Scenario Outline: Servers that end <gap> s apart by another cause quarantine nothing
    Given prompt "<sound>" was answered soundly at router r2
    When servers end <gap> s apart under "c t o1" at r1, "c t o2" at r2, "c t o3" at r3, "c t o4" at r1 and "c t o5" at r1
    Then after 0.3 s all routers accept "c t o6"

    Examples:
      | gap  | sound |
      | 0.0  | z o   |
      | 0.3  | c t o |

  Scenario: One server that ends under many prompts is one crash
    When server s1 ends under "c t o1" at r1, "c t o2" at r2, "c t o3" at r3, "c t o4" at r1 and "c t o5" at r1
    Then after 0.3 s all routers accept "c t o6"

  # Guards against LOST: a wrong verdict that nothing ends.
  Scenario: A wrong verdict is cleared everywhere by one sound answer that was running
    When servers end 0.3 s apart under "c t o1" at r1, "c t o2" at r2 and "c t o3" at r3
    Then after 0.3 s all routers refuse "c t o4" for 290 to 300 s
    When prompt "c t o5" is answered soundly at router r2
    Then after 0.3 s all routers accept "c t o6"

  # Guards against BUDGET: what a restarted or cut-off host has forgotten or missed.
  Scenario Outline: Routers still refuse the part after <event>
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    And 0.5 s pass
    And <event>
    And 2.5 s pass
    Then after 0.0 s all routers refuse "c bad o4" for 280 to 300 s

    Examples:
      | event                                     |
      | hosts "r2" restart                        |
      | hosts "c1 c2 c3" restart                  |
      | hosts "c1 c2 c3 r1" restart               |
      | hosts "c1 c2 c3 r1 r2" restart            |

  Scenario: A router that reaches no control host decides by itself, and tells the others later
    Given router r1 is cut off
    When 3.5 s pass
    And servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r1 and "c bad o3" at r1
    And 5 s pass
    Then router r1 refuses "c bad o4"
    And router r2 accepts "c bad o4"
    When the cut heals
    And 2.5 s pass
    Then after 0.0 s all routers refuse "c bad o4" for 280 to 300 s

  Scenario: A router that was cut off while others decided learns it after the cut
    Given router r3 is cut off
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    And 5 s pass
    Then router r3 accepts "c bad o4"
    When the cut heals
    And 2.5 s pass
    Then after 0.0 s all routers refuse "c bad o4" for 280 to 300 s

  # Guards against BUDGET: a part that is tried again as often as when it was unknown.
  Scenario: After a quarantine one further crash renews it for twice the time
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    And 302 s pass
    Then after 0.0 s all routers accept "c bad o4"
    When server s9 ends under "c bad o5" at r2
    Then after 0.3 s all routers refuse "c bad o6" for 590 to 600 s

  Scenario: A part that is answered soundly after its quarantine is trusted again
    When servers end 0.3 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    And 302 s pass
    And prompt "c bad o4" is answered soundly at router r3
    And 60 s pass
    And server s9 ends under "c bad o5" at r2
    Then after 0.3 s all routers accept "c bad o6"

  Scenario: Crashes that are long past don't count
    When servers end 40 s apart under "c bad o1" at r1, "c bad o2" at r2 and "c bad o3" at r1
    Then after 0.3 s all routers accept "c bad o4"

  # Guards against BUDGET and LOST: answers without framing look whole where a server ends.
  Scenario: Answers that end with their connection are sound once the server is heard again
    When an answer on "c t o1" at r1 by server s1 ends with its connection, and s1 answers 0.5 s later
    And servers end 0.3 s apart under "c t o2" at r1, "c t o3" at r2 and "c t o4" at r3
    Then after 0.3 s all routers accept "c t o5"

  Scenario: Servers that are never heard again after such answers ended under them
    When an answer on "c bad o1" at r1 by server s1 ends with its connection, and s1 ends 0.1 s later
    And an answer on "c bad o2" at r2 by server s2 ends with its connection, and s2 ends 0.1 s later
    And an answer on "c bad o3" at r1 by server s3 ends with its connection, and s3 ends 0.1 s later
    Then after 0.3 s all routers refuse "c bad o4" for 290 to 300 s
    And all routers accept "c t o5"

  Scenario: Servers that accept no connection after such answers ended under them
    When an answer on "c bad o1" at r1 by server s1 ends with its connection, and s1 is gone 1.5 s later
    And an answer on "c bad o2" at r2 by server s2 ends with its connection, and s2 is gone 1.5 s later
    And an answer on "c bad o3" at r1 by server s3 ends with its connection, and s3 is gone 1.5 s later
    Then after 0.3 s all routers refuse "c bad o4" for 290 to 300 s
    And all routers accept "c t o5"

  # Guards against BUDGET: the router that sent an answer which looked whole may not ask its
  # server again in time, while others see at once that the server has ended.
  Scenario Outline: An answer that looked whole is charged where another router sees that its server <end>
    When an answer on "c bad o1" at r1 by server s1 looks whole, and s1 <end> at r2
    And an answer on "c bad o2" at r2 by server s2 looks whole, and s2 <end> at r3
    And an answer on "c bad o3" at r1 by server s3 looks whole, and s3 <end> at r2
    Then after 0.3 s all routers refuse "c bad o4" for 290 to 300 s
    And all routers accept "c t1 o5"

    Examples:
      | end     |
      | ended   |
      | is gone |

  # Guards against BUDGET: a request without a prompt comes again at any router.
  Scenario: Three servers that end under one whole request quarantine it everywhere
    When servers end 0.3 s apart under "@bad" at r1, "@bad" at r2 and "@bad" at r3
    Then after 0.3 s all routers refuse "@bad" for 290 to 300 s
    And all routers accept "@other"

  # Guards against BUDGET: servers of a small pool that end one after the other within the time of
  # a power failure, so that the verdict comes only when all have started again.
  Scenario Outline: Servers that end <gap> s apart, <ran> s after they got the request
    When servers end <gap> s apart, <ran> s after they were chosen, under <places>
    Then after 0.3 s all routers <do> "<request>"

    Examples: each got it once the one before had ended
      | gap  | ran  | places                                      | do     | request |
      | 0.05 | 0.05 | "@bad" at r1, "@bad" at r1 and "@bad" at r1 | refuse | @bad    |
      | 0.05 | 0.04 | "@bad" at r1, "@bad" at r2 and "@bad" at r3 | refuse | @bad    |

    Examples: all had it when the first one ended, or only a part of it
      | gap  | ran  | places                                        | do     | request |
      | 0.02 | 0.5  | "@x" at r1, "@x" at r2, "@x" at r3 and "@x" at r1 | accept | @x |
      | 0.03 | 0.02 | "c t o1" at r1, "c t o2" at r1 and "c t o3" at r1 | accept | c t o4 |

  # Guards against LOST: a sound request that is so frequent that it runs on each server that ends.
  Scenario: A whole request that was sound at one router is cleared at all
    Given request "@hot" was answered soundly at router r2
    When servers end 0.3 s apart under "@hot" at r1, "@hot" at r3 and "@hot" at r1
    Then after 0.3 s all routers accept "@hot"

  Scenario: Sound requests that end with the servers aren't blamed
    Given request "@hot" was answered soundly at router r2
    When server s1 ends under "@bad" at r1, "@x" at r2 and "@hot" at r3
    And 0.3 s pass
    And server s2 ends under "@bad" at r1, "@x" at r2 and "@hot" at r3
    And 0.3 s pass
    And server s3 ends under "@bad" at r2, "@y" at r1 and "@hot" at r2
    Then after 0.3 s all routers refuse "@bad" for 290 to 300 s
    And all routers accept "@x", "@y" and "@hot"

  # Guards against BUDGET and LOST: a request with a prompt whose shared parts are sound elsewhere,
  # or always come with it.
  Scenario: A whole request with a prompt of its own each time is refused, and its parts go on
    When servers end 0.3 s apart under "@bad c t o1" at r1, "@bad c t o2" at r2 and "@bad c t o3" at r1
    Then after 0.3 s all routers refuse "@bad c t o4" for 290 to 300 s
    And all routers accept "@other c t o5"
    When request "@other c t o6" is answered soundly at router r3
    Then after 0.3 s all routers refuse "@bad d t o7" for 290 to 300 s

  Scenario: A prompt among requests that are alike otherwise is refused alone
    Given request "@same c t o1" was answered soundly at router r1
    And request "@same c t o2" was answered soundly at router r2
    When servers end 0.3 s apart under "@same c t bad" at r1, "@same c t bad" at r2 and "@same c t bad" at r1
    Then after 0.3 s all routers refuse "@same c t bad" for 290 to 300 s
    And all routers accept "@same c t o3" and "@other c t bad"

  Scenario: A part of prompts is found in requests that are alike otherwise
    Given request "@same c t o1" was answered soundly at router r1
    And request "@same c t o2" was answered soundly at router r2
    When servers end 0.3 s apart under "@same c bad o3" at r1, "@same c bad o4" at r2 and "@same c bad o5" at r1
    Then after 0.3 s all routers refuse "@other d bad o6" for 290 to 300 s
    And all routers accept "@same c t o7"

  Scenario Outline: Routers still refuse a whole request after hosts "<hosts>" restart
    When servers end 0.3 s apart under "@bad" at r1, "@bad" at r2 and "@bad" at r1
    And 0.5 s pass
    And hosts "<hosts>" restart
    And 2.5 s pass
    Then after 0.0 s all routers refuse "@bad" for 280 to 300 s

    Examples:
      | hosts    |
      | r2       |
      | c1 c2 c3 |

  # Guards against BUDGET: a request that is tried again as often as when it was unknown.
  Scenario: After the quarantine of a whole request one further crash renews it
    When servers end 0.3 s apart under "@bad" at r1, "@bad" at r2 and "@bad" at r1
    And 302 s pass
    Then after 0.0 s all routers accept "@bad"
    When server s9 ends under "@bad" at r2
    Then router r2 refuses "@bad"
    And after 0.3 s all routers refuse "@bad" for 590 to 600 s

  # Guards against BUDGET: a server that ends soon after it got a request on a kept connection looks
  # like one that closes an idle connection.
  Scenario Outline: Connections that may have been idle are cut, and the servers <state>
    Given servers that cut connections and <state>
    When connections are cut 0.3 s apart, 0.05 s after servers were chosen, under "@bad" at r1, "@bad" at r2 and "@bad" at r1
    Then after 0.5 s all routers <do> "@bad"

    Examples:
      | state                        | do     |
      | accept no connection         | refuse |
      | go on                        | accept |
      | are found gone at router r3  | refuse |

  # Guards against a burst of connections to a server that has just ended.
  Scenario: Connections of one server that are cut together cost one attempt to connect
    Given servers that cut connections and accept no connection
    When server s1 cuts the connections of "@a" at r1, "@b" at r1 and "@c" at r1
    Then after 0.5 s it was tried to connect to s1 once

  # Guards against ORDER: routers that send the rest of a stream to a server that one of them has
  # found gone, as its next process may have another version.
  Scenario Outline: All routers know for 9 s that a server <action>
    Given servers that cut connections and <state>
    When server s1 <action> at r1
    Then after 0.3 s <who> that s1 may have restarted
    And after 8.5 s <who> that s1 may have restarted
    And after 0.5 s no router knows that s1 may have restarted

    Examples:
      | action               | state                | who              |
      | refuses a connection | go on                | all routers know |
      | ends under "a b"     | accept no connection | all routers know |
      | ends under "a b"     | go on                | no router knows  |

  # Guards against BUDGET: a part that was in use before it began to end servers.
  Scenario: A part that was sound before is quarantined after seven ends without a sound answer
    Given prompt "c bad o1" was answered soundly at router r1
    And prompt "c bad o2" was answered soundly at router r2
    And prompt "c t1 o3" was answered soundly at router r3
    When servers end 0.3 s apart under "c bad o4" at r1, "c bad o5" at r2 and "c bad o6" at r1
    And prompt "c t1 o7" is answered soundly at router r1
    And prompt "c t1 o8" is answered soundly at router r2
    And servers end 0.3 s apart under "c bad o9" at r1, "c bad o10" at r2, "c bad o11" at r3 and "c bad o12" at r1
    Then after 0.3 s all routers refuse "d bad o13" for 290 to 300 s
    And all routers accept "c t1 o14"

  # Guards against a request that fails on its own sound answer, as two quarantines with the part
  # to blame leave the same rest.
  Scenario: A sound answer takes its parts out of two quarantines at once
    Then a table with the quarantines "c bad" and "t bad" that learns of a sound "c t o" keeps "bad"

  # Guards against a table that callers can make grow without end.
  Scenario: Tables keep their bounds
    Then a table of 6000 suspected, 30000 sound and 150 quarantined parts keeps 5000, 20000 and 100
    And parts of 70000 characters are kept in at most 64
    And a table of 100 sound parts and 100000 sound requests keeps all parts and 20000 to 40000 requests

  Scenario: A sound request is remembered for 15 to 30 s
    Then a table remembers a sound request after 14 s, beside others, but not after 31 s
