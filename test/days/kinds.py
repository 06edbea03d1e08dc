"""The kinds of trouble that `draw` knows, with the ranges of their fields and their variants."""

from dataclasses import dataclass, field


@dataclass
class Kind:
    """One kind of trouble, the ranges of its fields, and the variants that `how` may hold."""

    name: str
    #: Planned work stands under `plan`, everything else under `faults`.
    planned: bool = False
    ranges: dict = field(default_factory=dict)
    variants: tuple = ("",)
    #: May be aimed at the counted machines (`on = "core"`).
    on_core: bool = False
    #: What may follow a variant, for kinds that strike machines.
    suffixes: tuple = ("",)
    #: "llm": only services with models; "any": every service; "": none.
    service: str = ""


MEETS = ("", "meet", "race", "race drain", "meet drain", "race drain hard", "meet hard")
VICTIMS = ("", "leader", "reader", "seed")
CONFIG_VARIANTS = ("route", "weights", "timeout", "tenant", "quota", "idle")
INVALID = ("", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version")

KINDS = [
    Kind("burst", ranges={"x": (1.3, 2.6), "for_s": (2.0, 6.0)}),
    Kind("srv_crash", ranges={"share": (0.08, 0.25), "for_s": (2.0, 7.0)},
         variants=("", "dark", "gone"), service="any"),
    Kind("release", True, {"share": (0.08, 0.2), "x": (1, 2), "gap_s": (0.7, 1.5)}, service="any"),
    Kind("scale_in", ranges={"share": (0.08, 0.2), "x": (1.5, 3.0)}, variants=("", "spot"), service="llm"),
    Kind("scale_out", True, {"share": (0.1, 0.3), "gap_s": (1.0, 3.0)}),
    Kind("answer_lost", ranges={"share": (0.3, 0.6), "x": (0.02, 0.08), "for_s": (3.0, 6.0)}, variants=("", "reset")),
    Kind("garble", ranges={"share": (0.3, 0.6), "x": (0.01, 0.05), "for_s": (3.0, 6.0)},
         variants=("", "extra", "extra late")),
    Kind("node_kill", ranges={"share": (0.08, 0.2), "for_s": (1.0, 5.0)},
         variants=("", "power"), on_core=True, suffixes=MEETS),
    Kind("node_freeze", ranges={"share": (0.08, 0.2), "for_s": (1.0, 6.0)}, on_core=True, suffixes=MEETS),
    Kind("roll_term", True, {"share": (0.2, 0.6), "x": (1, 1), "gap_s": (1.0, 2.0)}, variants=("", "busy")),
    Kind("herd_kill", ranges={"share": (0.4, 0.7), "for_s": (1.0, 3.0)},
         variants=("", "power", "power race hard"), on_core=True),
    Kind("after_ack_kill", ranges={"for_s": (1.0, 4.0)}, variants=("", "kill", "timed")),
    Kind("after_ack_wipe", ranges={"for_s": (1.0, 4.0)}),
    Kind("disk_full", ranges={"count": (1, 1), "for_s": (2.0, 6.0)}),
    Kind("disk_stall", ranges={"count": (1, 1), "for_s": (1.0, 5.0)}, suffixes=("", "leader")),
    Kind("disk_slow", ranges={"count": (1, 1), "x": (10, 30), "for_s": (2.0, 6.0)}),
    Kind("clock_step", ranges={"share": (0.1, 0.4), "x": (500, 4000), "for_s": (3.0, 7.0)},
         variants=("", "ahead", "back")),
    Kind("core_cut", ranges={"count": (1, 1), "for_s": (2.0, 20.0)},
         variants=("", "one_way", "reset", "refuse", "both"), suffixes=MEETS),
    Kind("config_change", True, variants=CONFIG_VARIANTS),
    Kind("config_storm", True, {"for_s": (2.0, 6.0), "gap_s": (0.25, 0.5)}),
    Kind("config_race", True, {"count": (1, 4), "gap_s": (0.7, 1.6)}),
    Kind("bad_config", True, {"count": (1, 4), "gap_s": (0.5, 1.2)}, variants=INVALID),
    Kind("big_config", True, {"count": (200, 500)}),
    Kind("model_shift", True, {"count": (1, 3), "for_s": (4.0, 7.0)}),
    Kind("srv_slow", ranges={"share": (0.1, 0.2), "x": (2.0, 5.0), "for_s": (3.0, 7.0)}, service="any"),
    Kind("srv_grey", ranges={"share": (0.1, 0.2), "x": (0.2, 0.5), "for_s": (3.0, 7.0)},
         variants=("errors", "shed", "busy", "hang", "reset", "mute"), service="any"),
    Kind("srv_lying_health", ranges={"share": (0.05, 0.15), "for_s": (3.0, 7.0)},
         variants=("errors", "hang", "reset", "bad")),
    Kind("srv_flap", ranges={"share": (0.05, 0.15), "gap_s": (1.0, 2.0), "for_s": (4.0, 7.0)}),
    Kind("replace_with_reuse", ranges={"share": (0.1, 0.2)}, variants=("", "drain", "dark")),
    Kind("node_slow", ranges={"share": (0.08, 0.2), "x": (3.0, 6.0), "for_s": (3.0, 6.0)}),
    Kind("replace_core", ranges={"x": (0.5, 2.5)}, variants=("", "planned", "seed")),
    Kind("seed_turnover", True),
    Kind("hup", True, {"share": (0.2, 0.5), "gap_s": (0.5, 2.0)}),
    Kind("reset_conns", ranges={"share": (0.1, 0.3), "x": (0.3, 0.8)}),
    Kind("node_cut", ranges={"share": (0.08, 0.2), "for_s": (2.0, 6.0)}, variants=("", "servers")),
    Kind("retry_abuse", ranges={"share": (0.1, 0.3), "x": (1, 2), "for_s": (3.0, 5.0)}),
    Kind("idle_race", ranges={"share": (0.3, 0.6), "x": (200, 500), "for_s": (3.0, 6.0)}),
    Kind("ack_lost", ranges={"x": (0.3, 0.8), "for_s": (4.0, 12.0)}),
]  # fmt: skip
BY_NAME = {kind.name: kind for kind in KINDS}
