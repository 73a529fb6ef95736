Feature: An answer that is reset while its request is written is not whole

  # Guards against MIXED: an answer without a length that is taken for whole, as the reset
  # was reported to the writing of the request only.
  Scenario Outline: An answer that is reset during an upload of <size> is cut
    Given a server that answers "<type>" without a length before it reads an upload, and resets
    When a POST of <size> is uploaded <pace>
    Then the answer never counts as complete

    Examples:
      | type              | size     | pace           |
      | text/event-stream | 20 kB    | at once        |
      | text/event-stream | 400 kB   | at once        |
      | text/event-stream | 3000 kB  | at once        |
      | text/event-stream | 3000 kB  | by a late loop |
      | application/json  | 400 kB   | at once        |
      | application/json  | 3000 kB  | at once        |
      | application/json  | 3000 kB  | by a late loop |
