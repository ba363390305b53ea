package dev.foxtailshed.kernel.direct.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The tenants of one version of the configuration, by key and by name. Immutable.
 *
 * <p>A key that two tenants have belongs to neither of them, since a request must never count for
 * the wrong one.
 */
public final class TenantTable {

    private final Map<ApiKey, Tenant> byKey;
    private final Map<String, Tenant> byName;
    private final List<String> problems;

    private TenantTable(
            Map<ApiKey, Tenant> byKey, Map<String, Tenant> byName, List<String> problems) {
        this.byKey = Map.copyOf(byKey);
        this.byName = Map.copyOf(byName);
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the tenant that has a key.
     *
     * @param key the key
     * @return the tenant, or empty if no tenant or more than one has the key
     */
    public Optional<Tenant> find(ApiKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns the tenants.
     *
     * @return all tenants by name
     */
    public Map<String, Tenant> byName() {
        return byName;
    }

    /**
     * Returns what could not be used of the configured tenants.
     *
     * @return one message for each problem; none has a key
     */
    public List<String> problems() {
        return problems;
    }

    /** Collects the tenants of a configuration. Not thread-safe. */
    public static final class Builder {
        private final Map<ApiKey, Tenant> byKey = new HashMap<>();
        private final Map<String, Tenant> byName = new HashMap<>();
        private final Set<ApiKey> ambiguous = new HashSet<>();
        private final List<String> problems = new ArrayList<>();

        /**
         * Adds a tenant.
         *
         * @param tenant the tenant
         * @param keys the texts of its keys
         * @return this builder
         */
        public Builder add(Tenant tenant, List<String> keys) {
            if (byName.putIfAbsent(tenant.name(), tenant) != null) {
                return addProblem("tenant " + tenant.name() + ": expected it once, found it twice");
            }
            for (String text : keys) {
                Optional<ApiKey> key = ApiKey.parse(text);
                if (key.isEmpty()) {
                    addProblem(
                            "tenant "
                                    + tenant.name()
                                    + ": expected keys of visible ASCII, found another one");
                } else {
                    add(tenant, key.get());
                }
            }
            return this;
        }

        private void add(Tenant tenant, ApiKey key) {
            Tenant other = byKey.putIfAbsent(key, tenant);
            if (other != null && !other.equals(tenant)) {
                ambiguous.add(key);
                addProblem(
                        "tenants "
                                + other.name()
                                + " and "
                                + tenant.name()
                                + ": expected different keys, found "
                                + key
                                + " at both");
            }
        }

        /**
         * Adds a message about a tenant that cannot be used.
         *
         * @param problem the message, without keys
         * @return this builder
         */
        public Builder addProblem(String problem) {
            problems.add(problem);
            return this;
        }

        /**
         * Creates the table.
         *
         * @return the table of the tenants added so far
         */
        public TenantTable build() {
            Map<ApiKey, Tenant> unambiguous = new HashMap<>(byKey);
            unambiguous.keySet().removeAll(ambiguous);
            return new TenantTable(unambiguous, byName, problems);
        }
    }
}
