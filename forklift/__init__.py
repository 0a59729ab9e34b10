"""forklift: a proxy fleet for back ends with gray failures."""

VERSION = "0.1.0"
