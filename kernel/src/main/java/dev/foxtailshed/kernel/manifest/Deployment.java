package dev.foxtailshed.kernel.manifest;

import java.util.List;

/** The target that callers name in their requests: a language model or a plain service. */
public sealed interface Deployment {

    /**
     * Returns the name that callers use.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the name of the routing policy.
     *
     * @return the name
     */
    String policy();

    /**
     * Returns the name of the request class for requests that specify none.
     *
     * @return the name
     */
    String defaultClass();

    /**
     * A language model whose prefill and decode run in separate pools.
     *
     * @param name the name of the deployment
     * @param policy the name of the routing policy
     * @param defaultClass the name of the default request class
     * @param model the name of the model in requests to the engines
     * @param prefillPool the name of the prefill pool
     * @param decodePool the name of the decode pool
     * @param maximumPromptTokens the maximum number of prompt tokens of a request
     * @param maximumOutputTokens the maximum number of output tokens of a request
     */
    record Model(
            String name,
            String policy,
            String defaultClass,
            String model,
            String prefillPool,
            String decodePool,
            int maximumPromptTokens,
            int maximumOutputTokens)
            implements Deployment {}

    /**
     * A plain service.
     *
     * @param name the name of the deployment
     * @param policy the name of the routing policy
     * @param defaultClass the name of the default request class
     * @param pool the name of the pool that serves the calls
     * @param routes the calls that are served
     */
    record Plain(String name, String policy, String defaultClass, String pool, List<Route> routes)
            implements Deployment {

        /** Copies the list. */
        public Plain {
            routes = List.copyOf(routes);
        }
    }
}
