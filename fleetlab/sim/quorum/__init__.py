"""Schedules of a quorum: members and holders with drifting clocks, an adversary, a judge at each step.

Members, state machine and holders are the service's own classes. What is checked, by name:

- ``election``: one leader a term; ``completeness``: a new leader has all that was ever committed;
- ``matching``: logs that agree on an entry agree on all before; ``machine``: nobody applies another entry at
  an index, and the state after it is the same everywhere; ``term``: no term that others heard of goes back;
- ``token``: none is given twice, and none later is smaller; ``overlap``: no two holders may act at once;
- ``late``: a holder that had to stop does not go on under the same token;
- ``fence``: the resource takes no older token after a newer (the lab's own checker, on a history of the lab's
  form with the lab's words for faults); ``once``: a repeated request counts once;
- ``room``: with all disks full nothing is taken on that makes the state larger;
- ``linear``: reads and writes of a record are linearizable; ``stuck``: once all is well again, work goes on.
"""

from fleetlab.sim.quorum.campaigns import CampaignResult, record_schedule, run_campaign, run_schedules
from fleetlab.sim.quorum.judge import BrokenError, step_record
from fleetlab.sim.quorum.plan import Parts, Plan, draw_plan
from fleetlab.sim.quorum.simulation import QuorumSim

__all__ = [
    "BrokenError",
    "CampaignResult",
    "Parts",
    "Plan",
    "QuorumSim",
    "draw_plan",
    "record_schedule",
    "run_campaign",
    "run_schedules",
    "step_record",
]
