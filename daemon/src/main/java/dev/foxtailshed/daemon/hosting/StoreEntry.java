package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;

/**
 * An entry of the platform's store.
 *
 * @param name the name, unique within the collection
 * @param revision the store's revision at the last change of the entry
 * @param body the stored content
 */
public record StoreEntry(String name, long revision, JsonObject body) {}
