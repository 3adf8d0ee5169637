"""Generated thrift messages."""
