"""Messages between cornelbeam daemons and the connection that carries them."""
