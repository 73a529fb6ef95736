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
