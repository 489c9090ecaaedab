"""Rule 4: each gateway decides alone, and the sum stays within what a warming host bears.

The simulation is tests/helpers/slow_start_simulation.py."""

from dataclasses import replace

import pytest
from slow_start_simulation import SLOW_START, World

HOSTS = {1: 6, 4: 8, 20: 30, 30: 30, 200: 40}


@pytest.mark.parametrize("gateways", HOSTS)
@pytest.mark.parametrize("share", [0.33, 0.6, 1.0])
def test_warming_hosts_are_not_overloaded_by_the_sum_of_all_gateways(gateways, share):
    for seed in range(2 if gateways == 200 else 6):
        load, uneven = (0.6, 0.95, 1.2)[seed % 3], (0.3, 1.0)[seed % 2]
        world = World(seed, gateways, HOSTS[gateways], load, share, uneven=uneven).run()
        assert world.worst() <= 1.0, (seed, load, uneven)
        assert world.used() >= 0.2, (seed, load, uneven)  # and they are not left out of use


@pytest.mark.parametrize("factor, start", [(1.5, 0.15), (3.0, 0.47)])
def test_the_ramp_follows_what_the_settings_allow(factor, start):
    slow_start = replace(SLOW_START, initial_capacity_share=start, overload_factor=factor)
    for seed in range(4):
        world = World(seed, 20, 30, 0.9, (0.5, 1.0)[seed % 2], slow_start=slow_start).run()
        assert world.worst() <= 1.0 and world.used() >= 0.2, seed
