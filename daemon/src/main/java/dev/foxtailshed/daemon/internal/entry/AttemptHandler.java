package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.wire.Message;

/** Handles the messages about one attempt that arrive over its connection. Calls must not block. */
interface AttemptHandler {

    /** Handles a message about the attempt. */
    void onMessage(Message message);

    /** Called when the connection of the attempt is lost. */
    void onConnectionLost();
}
