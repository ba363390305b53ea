package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What cannot be used of a version of the routing configuration, while the rest is in force.
 *
 * <p>Requests for these parts are refused, as neither the version before nor another part of this
 * one says what should run them. Immutable.
 */
public final class UnusableParts {

    /** The parts of a configuration that can be used as a whole. */
    public static final UnusableParts NONE = new Builder().build();

    private final List<String> problems;
    private final Set<Place> routes;
    private final boolean hasRouteWithoutPlace;
    private final Set<String> services;
    private final boolean hasServiceWithoutName;

    private UnusableParts(Builder builder) {
        problems = List.copyOf(builder.problems);
        routes = Set.copyOf(builder.routes);
        hasRouteWithoutPlace = builder.hasRouteWithoutPlace;
        services = Set.copyOf(builder.services);
        hasServiceWithoutName = builder.hasServiceWithoutName;
    }

    /**
     * The requests that a route takes.
     *
     * @param host the host in lower case, without a port
     * @param pathPrefix the path prefix
     */
    public record Place(String host, String pathPrefix) {}

    /**
     * Returns why the parts cannot be used.
     *
     * @return one message for each part
     */
    public List<String> problems() {
        return problems;
    }

    /**
     * Returns the places of the routes that cannot be used otherwise.
     *
     * @return the hosts and path prefixes
     */
    public Set<Place> routes() {
        return routes;
    }

    /**
     * Returns whether a route is unusable whose requests cannot be told.
     *
     * @return whether a request that matches no route may be for an unusable one
     */
    public boolean hasRouteWithoutPlace() {
        return hasRouteWithoutPlace;
    }

    /**
     * Returns whether a service cannot be used.
     *
     * @param name the name of a service that has no usable description
     * @return whether the service has an unusable description, or may have one
     */
    public boolean hasService(String name) {
        return hasServiceWithoutName || services.contains(name);
    }

    /** Collects the parts. Not thread-safe. */
    public static final class Builder {
        private final List<String> problems = new ArrayList<>();
        private final Set<Place> routes = new HashSet<>();
        private final Set<String> services = new HashSet<>();
        private boolean hasRouteWithoutPlace;
        private boolean hasServiceWithoutName;

        /**
         * Adds a part whose loss refuses no request.
         *
         * @param problem what was expected and found
         * @return this builder
         */
        public Builder addProblem(String problem) {
            problems.add(problem);
            return this;
        }

        /**
         * Adds a route.
         *
         * @param problem what was expected and found
         * @param place the requests that the route takes
         * @return this builder
         */
        public Builder addRoute(String problem, Place place) {
            routes.add(place);
            return addProblem(problem);
        }

        /**
         * Adds a route whose host or path prefix cannot be read.
         *
         * @param problem what was expected and found
         * @return this builder
         */
        public Builder addRouteWithoutPlace(String problem) {
            hasRouteWithoutPlace = true;
            return addProblem(problem);
        }

        /**
         * Adds a service.
         *
         * @param problem what was expected and found
         * @param name the service's name
         * @return this builder
         */
        public Builder addService(String problem, String name) {
            services.add(name);
            return addProblem(problem);
        }

        /**
         * Adds a service whose name cannot be read.
         *
         * @param problem what was expected and found
         * @return this builder
         */
        public Builder addServiceWithoutName(String problem) {
            hasServiceWithoutName = true;
            return addProblem(problem);
        }

        /**
         * Returns the parts added so far.
         *
         * @return the parts
         */
        public UnusableParts build() {
            return new UnusableParts(this);
        }
    }
}
