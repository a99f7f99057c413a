"""SNMP agent; off unless configured."""
