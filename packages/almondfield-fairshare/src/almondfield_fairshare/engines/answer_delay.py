"""Estimate of the time that a first event takes beyond its prompt's prefill."""

__all__ = ["AnswerDelay"]

INITIAL_DELAY_S = 0.05  # round trips, and decode steps of running requests
MAX_DELAY_S = 0.25  # engines that are late by more count as slow
QUEUED_RISE_S = 0.004  # less than it falls by
STEP_S = 0.005  # small beside the delay; reaches it within some dozen answers


class AnswerDelay:
    """Median delay between prefill and the report of the first event, over all engines.

    It holds what passes in routers, links and reports and in the engine after prefill.
    The engine prefills the next prompts meanwhile, so none of it is work of the engine.

    :ivar seconds: the estimate in seconds.
    """

    def __init__(self) -> None:
        self.seconds = INITIAL_DELAY_S

    def record(self, delay_s: float, was_queued: bool) -> None:
        """Record the delay of one answer.

        An estimate that is too high makes all queues longer than predicted, and the
        answers to queued prompts then confirm it. So it falls as long as no engine is
        idle, until some are.

        :param delay_s: time from the admission to the report of the first event, less
            the predicted wait and prefill time, in seconds.
        :param was_queued: whether a wait was predicted.
        """
        # Steps of one size follow the median, whatever single late hosts report.
        rise_s = QUEUED_RISE_S if was_queued else STEP_S
        step_s = rise_s if delay_s > self.seconds else -STEP_S
        self.seconds = min(MAX_DELAY_S, max(0.0, self.seconds + step_s))
