package dev.foxtailshed.daemon.internal.operator;

import com.google.gson.JsonObject;
import java.util.concurrent.CompletableFuture;

/** Reports which version of the manifest is in force at each instance, and since when. */
public interface InForceReport {

    /**
     * Returns the report.
     *
     * @param local whether to report only this instance and the sidecars in its registry
     * @return an object with newestVersion and instances; never completes exceptionally
     */
    CompletableFuture<JsonObject> toJson(boolean local);
}
