"""Random sample of the backend servers among which a request chooses.

Load reports are up to half a second old. If every node of a large fleet
chooses the best of all backend servers by the same reports, all send their
requests to the same few servers until the next reports arrive. A choice among
a few random ones (Mitzenmacher, The Power of Two Choices in Randomized Load
Balancing, 2001) stays good under old reports.
"""

from collections.abc import Sequence
import random

from apricotpost.routing import placement

__all__ = ["sample_candidates"]

# Candidates of the own data centre and of others for the first attempt. With
# fewer, slow servers are chosen more often; with more, many nodes choose the
# same server at the same time.
LOCAL_SAMPLE = 3
REMOTE_SAMPLE = 1
# Candidates of either kind for further attempts: the servers of the first
# sample had no room, so those with room have to be found.
RETRY_SAMPLE = 6


def sample_candidates(
    candidates: Sequence[placement.Candidate],
    rng: random.Random,
    *,
    retrying: bool,
) -> tuple[list[placement.Candidate], list[placement.Candidate]]:
    """Return the candidates to choose from, and the others.

    Parameters
    ----------
    candidates : sequence of Candidate
        Backend servers that may run the request.
    rng : random.Random
        Source of randomness.
    retrying : bool
        Whether the request was offered before.
    """
    local_limit = RETRY_SAMPLE if retrying else LOCAL_SAMPLE
    remote_limit = RETRY_SAMPLE if retrying else REMOTE_SAMPLE
    shuffled = rng.sample(candidates, len(candidates))
    local = [c for c in shuffled if c.same_data_centre]
    remote = [c for c in shuffled if not c.same_data_centre]
    # Where the data centre has too few servers, or is evacuated, those of
    # others take their places.
    remote_limit += max(local_limit - len(local), 0)
    chosen = local[:local_limit] + remote[:remote_limit]
    return chosen, local[local_limit:] + remote[remote_limit:]
