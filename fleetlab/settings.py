"""The settings that a deployment gives to its relays, made from a scenario."""

from __future__ import annotations

from typing import Any

from fleetlab.scenario import Scenario


def relay_settings(scenario: Scenario) -> dict[str, Any]:
    """Return the settings object with the keys that relays read."""
    kinds = list(dict.fromkeys(partner.kind for partner in scenario.partners))
    zones = list(dict.fromkeys(partner.zone for partner in scenario.partners))
    first = scenario.partners[0]
    batches = [max(item.batch for item in scenario.partners if item.kind == kind) for kind in kinds]
    return {
        "accounts": [
            {"name": item.name, "quota_per_s": item.quota_per_s, "share": item.share}
            for item in scenario.tenants
        ],
        "allowed": {
            "cancel": True,
            "connect_timeout_us": 1_500_000,
            "keepalive_us": to_us(min(partner.keepalive_s for partner in scenario.partners)),
            "max_retry_after_us": 3_000_000,
            "may_duplicate": False,
            "most_tries": scenario.most_tries,
            "open_cap": scenario.open_cap,
            "probes": True,
            "retry_after": True,
        },
        "discovery": "ask",
        "domain": {
            "batch_by_kind": batches,
            "calls_out": scenario.calls_out,
            "decay": "halves",
            "kind_apart": [False] * len(kinds),
            "report_x0": "share of the allowance that is left",
            "report_x1": "calls a second that the limit allows; 0 where there is none",
            "toll": [0.0] * len(zones),
        },
        "group_size": scenario.relays,
        "load_info": {"columns": ["x0", "x1"], "how": "inline"},
        "machine_types": kinds,
        "over_share_worth": 0.1,
        "request_classes": [
            {
                "name": cls.name,
                "effect": cls.effect,
                "aim_us": to_us(cls.aim_s),
                "deadline_us": to_us(cls.deadline_s),
                "dedup_window_us": to_us(cls.window_s),
                "key_scope": "all",
                "late_worth": cls.late_worth,
                "stream": False,
                "worth": cls.worth,
            }
            for cls in scenario.classes
        ],
        "round_us": 5000,
        "rules": {
            "ask_within_us": 10_000_000,
            "cold_from": first.cold_from,
            "drain_grace_us": to_us(scenario.drain_grace_s),
            "fall_multiple": first.fall_multiple,
            "fall_us": to_us(first.fall_s),
            "grace_to_answer_us": 20_000,
            "warm_within_us": to_us(max(partner.warm_s for partner in scenario.partners)),
        },
        "weights": "off",
        "zones": zones,
    }


def to_us(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * 1e6)
