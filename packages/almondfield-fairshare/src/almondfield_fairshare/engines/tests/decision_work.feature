Feature: Work of a scheduler's decisions

  # Guards against FAIR: a scheduler without processor time left answers all routers too late.
  # A tenth of a core for 1,000 decisions a second among 200 engines is 0.5 us for each
  # engine, in which Python makes some two calls. The messages need most of the processor.
  Scenario Outline: A decision makes few calls for each engine
    Given 200 engines, of which <busy> prefill prompts and <full> have no free slot
    And <slow> of them report that they are slow
    When the calls of <decisions> decisions on prompts are counted, 2 ms apart
    Then a decision makes at most 2 calls for each engine

    Examples:
      | busy | full | slow | decisions |
      | 0    | 0    | 0    | 100       |
      | 100  | 0    | 0    | 100       |
      | 200  | 0    | 0    | 100       |
      | 200  | 200  | 0    | 100       |
      | 200  | 200  | 30   | 100       |
