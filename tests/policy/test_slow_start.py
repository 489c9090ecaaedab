"""Rule 4: the gateways decide independently, and their requests in sum must not overload a warming host.

The simulation is in tests/helpers/slow_start_simulation.py.
"""

from dataclasses import replace

import pytest
from slow_start_simulation import SLOW_START, SlowStartSimulation

HOST_COUNTS = {1: 6, 4: 8, 20: 30, 30: 30, 200: 40}  # By number of gateways.


@pytest.mark.parametrize("gateways", HOST_COUNTS)
@pytest.mark.parametrize("share", [0.33, 0.6, 1.0])
def test_warming_hosts_are_not_overloaded_by_the_sum_of_all_gateways(gateways, share):
    """Guards against overload of hosts that restart together.

    Each gateway sees its own requests only, so a share that is right for one gateway adds up over all of
    them.
    """
    for seed in range(2 if gateways == 200 else 6):
        load, load_sigma = (0.6, 0.95, 1.2)[seed % 3], (0.3, 1.0)[seed % 2]
        simulation = SlowStartSimulation(
            seed, gateways, HOST_COUNTS[gateways], load, share, load_sigma=load_sigma
        ).run()
        assert simulation.worst_overload() <= 1.0, (seed, load, load_sigma)
        assert simulation.used_capacity_share() >= 0.2, (seed, load, load_sigma)  # Not left idle.


@pytest.mark.parametrize("factor, start", [(1.5, 0.15), (3.0, 0.47)])
def test_the_ramp_follows_what_the_settings_allow(factor, start):
    """Guards against a ramp that ignores the configured overload factor or initial capacity share."""
    slow_start = replace(SLOW_START, initial_capacity_share=start, overload_factor=factor)
    for seed in range(4):
        simulation = SlowStartSimulation(seed, 20, 30, 0.9, (0.5, 1.0)[seed % 2], slow_start=slow_start).run()
        assert simulation.worst_overload() <= 1.0 and simulation.used_capacity_share() >= 0.2, seed
