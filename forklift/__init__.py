"""forklift: a proxy fleet for targets with gray failures."""

VERSION = "0.1.0"
