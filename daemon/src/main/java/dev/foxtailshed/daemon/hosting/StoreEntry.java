package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;

/**
 * An entry of the platform's store.
 *
 * @param name its name within its collection
 * @param revision the store's revision at its last change
 * @param body what the writer stored
 */
public record StoreEntry(String name, long revision, JsonObject body) {}
