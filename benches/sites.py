"""Prepares a comparison of routing policies: sites that differ only in the policy, and a load.

``sites`` copies an example site once for each policy, with caches too small for all prompts.
``load`` writes load settings from the plans of the started deployments.
"""

import json
from pathlib import Path

import yaml
from absl import app, flags

POLICIES = ("least-loaded", "affinity", "full")
# One engine can cache a third of a class's prompts, the two engines of a data centre two thirds.
CACHE_BLOCKS = 120
PROMPT_BLOCKS = 6
BLOCK_BYTES = 8192
# Weights of the customers: a few large and many small ones.
WEIGHTS = [4, 3, 3, 1, 1, 1, 1, 1, 1, 1]
# Per site, service and model of the class with long prompts and of the one with short prompts.
SERVICES = {
    "kimolia": (("suggestions", "style-9b"), ("spot-checks", "spot-3b")),
    "pipi-tamu": (("stock-planner", "planner-13b"), ("flavour-questions", "flavour-7b")),
}
PROMPTS = 60

_SITE = flags.DEFINE_string("site", "kimolia", "example site")
_OUTPUT = flags.DEFINE_string("output", "run/compare", "folder for sites and load settings")
_SECONDS = flags.DEFINE_float("seconds", 60.0, "length of the run")
_RATE = flags.DEFINE_float("rate", 6.0, "long prompts a second for each deployment")
_SEED = flags.DEFINE_integer("seed", 11, "seed of the arrivals")


def write_sites(site: str, output: Path) -> None:
    """Writes ``output/sites/<site>-<policy>`` for each policy."""
    source = Path("examples") / site
    for policy in POLICIES:
        folder = output / "sites" / f"{site}-{policy}"
        folder.mkdir(parents=True, exist_ok=True)
        for file in source.glob("*.yaml"):
            (folder / file.name).write_text(file.read_text(encoding="utf-8"), encoding="utf-8")
        settings = yaml.safe_load((source / "site.yaml").read_text(encoding="utf-8"))
        settings["name"] = folder.name
        settings["gateway"]["routing_policy"] = policy
        settings["engine"]["cache_blocks"] = CACHE_BLOCKS
        (folder / "site.yaml").write_text(yaml.safe_dump(settings), encoding="utf-8")


def write_load(site: str, output: Path) -> None:
    """Writes ``output/load.yaml`` for the started deployments."""
    deployments = []
    for policy in POLICIES:
        plan = json.loads((output / f"{site}-{policy}" / "plan.json").read_text(encoding="utf-8"))
        instances = plan["instances"]
        deployments.append(
            {
                "name": policy,
                "urls": [i["gateway_url"] for i in instances],
                "tokens": list_tokens(site, plan["customer_tokens"]),
                "metrics_urls": [f"{i['gateway_admin_url']}/metrics" for i in instances],
            }
        )
    settings = {
        "deployments": deployments,
        "workload": {
            "classes": list_classes(site),
            "duration_s": _SECONDS.value,
            "warmup_s": _SECONDS.value / 3,
            "timeout_s": 30,
        },
        "seed": _SEED.value,
        "report_file": str(output / "report.json"),
        "plot_file": str(output / "report.png"),
    }
    (output / "load.yaml").write_text(yaml.safe_dump(settings), encoding="utf-8")


def list_tokens(site: str, tokens: dict[str, dict[str, str]]) -> list[dict[str, object]]:
    """Returns the customers' tokens for the long and the short class."""
    (long_service, _), (short_service, _) = SERVICES[site]
    return [
        {"class_name": "long", "tokens": list(tokens[long_service].values())},
        {"class_name": "short", "tokens": list(tokens[short_service].values())},
    ]


def list_classes(site: str) -> list[dict[str, object]]:
    """Returns a site's load classes with long and with short prompts."""
    (_, long_model), (_, short_model) = SERVICES[site]
    common = {"weights": WEIGHTS}
    return [
        {
            **common,
            "name": "long",
            "model": long_model,
            "requests_per_second": _RATE.value,
            "prompts": PROMPTS,
            "prompt_bytes": PROMPT_BLOCKS * BLOCK_BYTES,
            "suffix_bytes": 200,
            "max_tokens": 30,
            "first_token_bound_s": 1.3,
        },
        {
            **common,
            "name": "short",
            "model": short_model,
            "requests_per_second": _RATE.value,
            "prompts": PROMPTS,
            "prompt_bytes": 200,
            "suffix_bytes": 20,
            "max_tokens": 5,
            "first_token_bound_s": 1.3,
        },
    ]


def main(argv: list[str]) -> None:
    """Runs the step named by the argument."""
    steps = {"sites": write_sites, "load": write_load}
    steps[argv[1]](_SITE.value, Path(_OUTPUT.value))


if __name__ == "__main__":
    app.run(main)
