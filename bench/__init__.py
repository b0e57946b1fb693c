"""Measurements that are run by hand; their figures go into commits and pages."""
