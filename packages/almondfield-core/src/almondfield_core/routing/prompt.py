"""Size and parts of a prompt, as needed to route a request to a model engine."""

from dataclasses import dataclass, replace

import xxhash

__all__ = ["MAX_ID_CHARACTERS", "MAX_PARTS", "Prompt", "PromptPart"]

MAX_ID_CHARACTERS = 64  # longer ones are kept as a hash
MAX_PARTS = 256


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

    def bounded(self) -> "Prompt":
        """Return the prompt with short names, and no more than ``MAX_PARTS`` parts.

        Hosts keep parts of prompts by the thousand, so that the names that callers give
        them have to be bounded. Further parts count to the last one.
        """
        parts = self.parts
        names = (self.model, *[part.part_id for part in parts])
        if len(parts) <= MAX_PARTS and max(map(len, names)) <= MAX_ID_CHARACTERS:
            return self
        if len(parts) > MAX_PARTS:
            tokens = sum(part.tokens for part in parts[MAX_PARTS - 1 :])
            parts = (*parts[: MAX_PARTS - 1], replace(parts[-1], tokens=tokens))
        parts = tuple(replace(p, part_id=_shorten(p.part_id)) for p in parts)
        return replace(self, model=_shorten(self.model), parts=parts)

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


def _shorten(name: str) -> str:
    if len(name) <= MAX_ID_CHARACTERS:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode())
