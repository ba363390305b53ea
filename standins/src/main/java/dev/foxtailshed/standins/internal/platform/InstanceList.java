package dev.foxtailshed.standins.internal.platform;

import dev.foxtailshed.standins.internal.http.LaggedValue;
import java.util.List;
import java.util.TreeMap;

/** The platform's instance list, read with a lag. Thread-safe. */
final class InstanceList {

    private final TreeMap<String, Instance> current = new TreeMap<>();
    private final LaggedValue<Listing> listing = new LaggedValue<>(new Listing(List.of()));

    synchronized void put(Instance instance) {
        current.put(instance.name(), instance);
        listing.set(new Listing(List.copyOf(current.values())));
    }

    synchronized void remove(String name) {
        current.remove(name);
        listing.set(new Listing(List.copyOf(current.values())));
    }

    Listing read(long lagMillis) {
        return listing.get(lagMillis);
    }

    /** An instance; its state is {@code live} or {@code leaving}. */
    record Instance(String name, String role, String zone, String address, String state) {

        Instance withName(String newName) {
            return new Instance(newName, role, zone, address, state);
        }

        boolean isComplete() {
            return role != null
                    && zone != null
                    && address != null
                    && ("live".equals(state) || "leaving".equals(state));
        }
    }

    /** All instances ordered by name. */
    record Listing(List<Instance> instances) {}
}
