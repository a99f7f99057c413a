"""The SNMP agent, off unless an operator sets it up."""
