"""Estimate of the time that a first event takes beyond its prompt's prefill."""

__all__ = ["AnswerDelay"]

INITIAL_DELAY_S = 0.05  # round trips, and decode steps of running requests
MAX_DELAY_S = 0.5  # engines that are late by more count as slow
STEP_S = 0.005  # small beside the delay; reaches it within some dozen answers


class AnswerDelay:
    """Median delay between prefill and the report of the first event, over all engines.

    It holds what passes in routers, links and reports and in the engine after prefill.
    The engine prefills the next prompts meanwhile, so none of it is work of the engine.

    :ivar seconds: the estimate in seconds.
    """

    def __init__(self) -> None:
        self.seconds = INITIAL_DELAY_S

    def record(self, delay_s: float) -> None:
        """Record the delay of the answer to a prompt that met an idle engine.

        :param delay_s: time from its admission to the report of its first event, less
            its expected prefill time, in seconds.
        """
        # Steps of one size follow the median, whatever single late hosts report.
        step_s = STEP_S if delay_s > self.seconds else -STEP_S
        self.seconds = min(MAX_DELAY_S, max(0.0, self.seconds + step_s))
