package dev.foxtailshed.kernel.manifest;

/**
 * A set of calls of a plain deployment and how they are served.
 *
 * @param method the HTTP method
 * @param pathPrefix the path, which matches itself and all paths below it
 * @param requestClass the name of the request class of the calls
 * @param repeatable whether the calls are idempotent and may be retried
 */
public record Route(String method, String pathPrefix, String requestClass, boolean repeatable) {

    /**
     * Returns whether a call matches this route.
     *
     * @param callMethod the HTTP method
     * @param path the path without its query
     * @return whether method and path match
     */
    boolean matches(String callMethod, String path) {
        return method.equals(callMethod)
                && path.startsWith(pathPrefix)
                && (path.length() == pathPrefix.length()
                        || pathPrefix.endsWith("/")
                        || path.charAt(pathPrefix.length()) == '/');
    }
}
