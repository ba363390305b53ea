package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.direct.StorePosition;

/**
 * An entry of the platform's store.
 *
 * @param name the name, unique within the collection
 * @param position the position of the entry's last change, in the era in which it was read
 * @param body the stored content
 */
public record StoreEntry(String name, StorePosition position, JsonObject body) {}
