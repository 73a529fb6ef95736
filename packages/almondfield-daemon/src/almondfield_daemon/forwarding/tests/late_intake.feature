Feature: Prompts that a busy router reads late

  # Guards against FAIR and SHORT: the router of a hot team passed on more than it could, so that
  # all its answers were late and connections to it weren't accepted, beside idle routers.
  Scenario Outline: A prompt that can't be passed on in time is refused by its head
    Given a router of a route with a target of 0.8 s, where <others>
    When <request> is read <late> s after it came
    Then the router <outcome>

    Examples:
      | others                | request              | late | outcome                               |
      | another prompt waits  | a prompt             | 0.06 | refuses it, to be sent again in 0.1 s |
      | another prompt waits  | a prompt             | 0.04 | passes it on                          |
      | no other prompt waits | a prompt             | 0.06 | passes it on                          |
      | another prompt waits  | a stream's take-up   | 0.06 | passes it on                          |
      | another prompt waits  | another request      | 0.06 | passes it on                          |

  # Guards against a late router: without a scheduler it read each prompt whole before it
  # refused it.
  Scenario Outline: A prompt that no scheduler decides on is refused by its head
    Given a router of a route with a target of 0.8 s, where no other prompt waits
    And <scheduler> decides, and <count> prompts are in prefill
    When <request> is read 0.0 s after it came
    Then the router <outcome>

    Examples:
      | scheduler    | count | request              | outcome                               |
      | no scheduler | 2     | a prompt             | refuses it, to be sent again in 0.3 s |
      | no scheduler | 0     | a prompt             | passes it on                          |
      | no scheduler | 2     | a stream's take-up   | passes it on                          |
      | no scheduler | 2     | another request      | passes it on                          |
      | a scheduler  | 2     | a prompt             | passes it on                          |

  # Guards against FAIR: a late router passed on one prompt at a time, of whichever team came
  # first, so that a middling team beside a flooding one was refused as often.
  Scenario Outline: A middling team at a late router gets half of what it asks for
    Given a router that passes on a prompt in 8 ms, and refuses one in 0.3 ms
    When team "flood" sends <flood> prompts a second, <others> for 10 s
    Then each of the others has half of its prompts passed on in each 6 s
    And the router passes on at least <least> prompts a second

    Examples:
      | flood | others                                    | least |
      | 400   | and "middling" 10                         | 80    |
      | 400   | and "middling" 30                         | 80    |
      | 1500  | and "middling" 10                         | 40    |
      | 400   | and "first", "second" and "third" 10 each | 80    |

  # Guards against a router that stays late, as what it passed on before counts as what it can.
  Scenario: A late router with two flooding teams reads prompts in time again
    Given a router that passes on a prompt in 8 ms, and refuses one in 0.3 ms
    When team "flood" sends 400 prompts a second, and "other" 400 for 10 s
    Then half of the prompts are read within 0.25 s
