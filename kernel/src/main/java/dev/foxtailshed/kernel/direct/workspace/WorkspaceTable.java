package dev.foxtailshed.kernel.direct.workspace;

import dev.foxtailshed.kernel.direct.quota.TokenQuota;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The workspaces of one version of the configuration, by key and by name. Immutable.
 *
 * <p>A key that two workspaces have belongs to neither of them, since a request must never count
 * for the wrong one. The keys of workspaces that cannot be used stay known, so that their callers
 * are told apart from those with unknown keys.
 */
public final class WorkspaceTable {

    private final Map<ApiKey, Workspace> byKey;
    private final Map<String, Workspace> byName;
    private final Set<ApiKey> unusableKeys;
    private final List<String> problems;

    private WorkspaceTable(
            Map<ApiKey, Workspace> byKey,
            Map<String, Workspace> byName,
            Set<ApiKey> unusableKeys,
            List<String> problems) {
        this.byKey = Map.copyOf(byKey);
        this.byName = Map.copyOf(byName);
        this.unusableKeys = Set.copyOf(unusableKeys);
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the workspace that has a key.
     *
     * @param key the key
     * @return the workspace, or empty if no workspace or more than one has the key
     */
    public Optional<Workspace> find(ApiKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns whether a key is configured, but belongs to no workspace that can be used.
     *
     * @param key the key
     * @return false for keys of usable workspaces and for unknown keys
     */
    public boolean isUnusable(ApiKey key) {
        return unusableKeys.contains(key);
    }

    /**
     * Returns the workspaces.
     *
     * @return all workspaces by name
     */
    public Map<String, Workspace> byName() {
        return byName;
    }

    /**
     * Returns the quotas of the workspaces that have one.
     *
     * @return the quotas by the workspaces' names
     */
    public Map<String, TokenQuota> quotas() {
        Map<String, TokenQuota> quotas = new HashMap<>();
        byName.forEach(
                (name, workspace) -> workspace.quota().ifPresent(quota -> quotas.put(name, quota)));
        return quotas;
    }

    /**
     * Returns what could not be used of the configured workspaces.
     *
     * @return one message for each problem; none has a key
     */
    public List<String> problems() {
        return problems;
    }

    /** Collects the workspaces of a configuration. Not thread-safe. */
    public static final class Builder {
        private final Map<ApiKey, Workspace> byKey = new HashMap<>();
        private final Map<String, Workspace> byName = new HashMap<>();
        private final Set<ApiKey> unusableKeys = new HashSet<>();
        private final List<String> problems = new ArrayList<>();

        /**
         * Adds a workspace.
         *
         * @param workspace the workspace
         * @param keys the texts of its keys
         * @return this builder
         */
        public Builder add(Workspace workspace, List<String> keys) {
            Workspace sameName = byName.putIfAbsent(workspace.name(), workspace);
            if (sameName != null) {
                return addUnusable(
                        "workspace " + workspace.name() + ": expected it once, found it twice",
                        keys.stream().filter(text -> !isKeyOf(sameName, text)).toList());
            }
            for (String text : keys) {
                Optional<ApiKey> key = ApiKey.parse(text);
                if (key.isEmpty()) {
                    addProblem(
                            "workspace "
                                    + workspace.name()
                                    + ": expected keys of visible ASCII, found another one");
                } else {
                    add(workspace, key.get());
                }
            }
            return this;
        }

        private boolean isKeyOf(Workspace workspace, String text) {
            return ApiKey.parse(text)
                    .map(byKey::get)
                    .filter(owner -> owner.equals(workspace))
                    .isPresent();
        }

        /**
         * Adds the keys of a workspace that cannot be used.
         *
         * @param problem says why, without keys
         * @param keys the texts of the keys
         * @return this builder
         */
        public Builder addUnusable(String problem, List<String> keys) {
            keys.stream().map(ApiKey::parse).flatMap(Optional::stream).forEach(unusableKeys::add);
            return addProblem(problem);
        }

        private void add(Workspace workspace, ApiKey key) {
            Workspace other = byKey.putIfAbsent(key, workspace);
            if (other != null && !other.equals(workspace)) {
                unusableKeys.add(key);
                addProblem(
                        "workspaces "
                                + other.name()
                                + " and "
                                + workspace.name()
                                + ": expected different keys, found "
                                + key
                                + " at both");
            }
        }

        /**
         * Adds a message about a workspace that cannot be used.
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
         * @return the table of the workspaces added so far
         */
        public WorkspaceTable build() {
            Map<ApiKey, Workspace> usable = new HashMap<>(byKey);
            usable.keySet().removeAll(unusableKeys);
            return new WorkspaceTable(usable, byName, unusableKeys, problems);
        }
    }
}
