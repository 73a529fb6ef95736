"""The prompt of a request to a model engine, as far as routing needs it."""

from dataclasses import dataclass

__all__ = ["Prompt", "PromptPart"]


@dataclass(frozen=True)
class PromptPart:
    """A piece of a prompt that other prompts may share.

    :ivar part_id: identifier of its content.
    :ivar tokens: its length in tokens.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a prompt.

    :ivar model: name of the model.
    :ivar input_tokens: length of the whole prompt in tokens.
    :ivar max_output_tokens: most tokens that the answer may have.
    :ivar parts: pieces in order; the last one belongs to this request or its session.
    :ivar likely_output_tokens: the caller's estimate of the answer's length in
        tokens; 0 where it gave none.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    likely_output_tokens: int = 0

    @property
    def own_tokens(self) -> int:
        """Return the length of the part that no other request shares; 0 for none."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def shared_part(self) -> str:
        """Return the last part that other requests may share; empty for none."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""
