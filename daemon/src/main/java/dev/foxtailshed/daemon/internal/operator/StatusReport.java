package dev.foxtailshed.daemon.internal.operator;

import com.google.gson.JsonObject;

/** Reports the state of this instance and of the servers in its manifest. */
public interface StatusReport {

    /**
     * Returns the report.
     *
     * @return an object with servers, goodput and wasted prefill
     */
    JsonObject toJson();
}
