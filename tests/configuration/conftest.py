"""Fixtures for tests of the configuration service."""

import pytest
from configuration_helpers import control_node


@pytest.fixture
def writer(tmp_path):
    return control_node(tmp_path / "w.db", plans=5)
