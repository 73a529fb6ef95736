Feature: An answer that ends its connection reaches a caller that still writes

  Background:
    Given a listener that answers some requests before it has read them

  # Guards against a close with unread bytes: its reset fails the caller's write, and a
  # caller that gives up there never reads its answer.
  Scenario Outline: A caller that writes on gets the whole answer
    When a caller sends <request> and writes <way>
    Then it gets the whole answer <status> after it has written everything

    Examples:
      | request                     | way                | status |
      | a body that is too long     | slowly             | 413    |
      | a body that is too long     | slowly in chunks   | 413    |
      | a body that is too long     | all at once        | 413    |
      | a body that is too long     | at once in chunks  | 413    |
      | a body without memory       | slowly             | 503    |
      | a body without memory       | at once in chunks  | 503    |
      | a long body that is refused | slowly             | 503    |
      | a long body that is refused | at once in chunks  | 503    |
      | a malformed head            | slowly             | 400    |
      | a malformed head            | all at once        | 400    |
      | an oversized head           | slowly             | 431    |
      | an oversized head           | all at once        | 431    |
      | a body that nobody reads    | slowly             | 404    |
      | a body that nobody reads    | at once in chunks  | 404    |
