"""Size and parts of a prompt, as needed to route a request to a model engine."""

from dataclasses import dataclass

__all__ = ["Prompt", "PromptPart"]


@dataclass(frozen=True)
class PromptPart:
    """A piece of a prompt that other prompts may share.

    :ivar part_id: identifier of the part's content.
    :ivar tokens: length of the part in tokens.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a prompt of one request.

    :ivar model: name of the model.
    :ivar input_tokens: length of the whole prompt in tokens.
    :ivar max_output_tokens: limit of the answer's length in tokens.
    :ivar parts: parts in order; the last one belongs to this request or its session.
    :ivar likely_output_tokens: the caller's estimate of the answer's length in
        tokens; 0 if it gave none.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    likely_output_tokens: int = 0

    @property
    def unshared_tokens(self) -> int:
        """Return the tokens of the part that no other request shares; 0 for none."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def shared_part(self) -> str:
        """Return the ID of the last part that others may share; empty for none."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @property
    def identifier(self) -> str:
        """Return what tells a prompt from others and is the same if it is sent again.

        Prompts of one session may have the last part in common, but differ in length.
        """
        if not self.parts:
            return ""
        return f"{self.parts[-1].part_id}:{self.input_tokens}"
