package dev.foxtailshed.bench.load;

import java.util.List;
import java.util.Random;

/**
 * The request mix of one user: kinds of model requests, and calls per model request.
 *
 * @param name the name of the user
 * @param components the kinds of model requests; their fractions add up to one
 * @param lookupsPerModelRequest lookups per model request
 * @param ordersPerModelRequest orders per model request
 */
record RequestMix(
        String name,
        List<Component> components,
        double lookupsPerModelRequest,
        double ordersPerModelRequest) {

    static final int SHARED_PREFIX_TOKENS = 320;
    static final int SHARED_PREFIXES = 12;

    static final RequestMix LIGUSTRO =
            new RequestMix(
                    "ligustro",
                    List.of(
                            new Component(RequestKind.SUMMARY, 0.55, 350, 700, 0.7, 20, 40),
                            new Component(RequestKind.QUOTE, 0.25, 30, 90, 0, 20, 40),
                            new Component(RequestKind.DRAFT, 0.20, 20, 60, 0, 100, 150)),
                    0.75,
                    0.15);

    static final RequestMix CYNGOR =
            new RequestMix(
                    "cyngor",
                    List.of(
                            new Component(RequestKind.SUMMARY, 0.25, 350, 700, 0.7, 20, 40),
                            new Component(RequestKind.DIGEST, 0.50, 350, 900, 0.7, 40, 80),
                            new Component(RequestKind.QUOTE, 0.25, 30, 90, 0, 20, 40)),
                    0.75,
                    0.15);

    /**
     * One kind of model request. Token counts are uniformly distributed, bounds included.
     *
     * @param kind the kind
     * @param fraction the fraction of model requests that are of this kind
     * @param minimumPromptTokens the minimum number of prompt tokens
     * @param maximumPromptTokens the maximum number of prompt tokens
     * @param sharedPrefixFraction the fraction of these requests whose prompts begin with a common
     *     prefix
     * @param minimumOutputTokens the minimum number of output tokens
     * @param maximumOutputTokens the maximum number of output tokens
     */
    record Component(
            RequestKind kind,
            double fraction,
            int minimumPromptTokens,
            int maximumPromptTokens,
            double sharedPrefixFraction,
            int minimumOutputTokens,
            int maximumOutputTokens) {

        double meanPromptTokens() {
            return (minimumPromptTokens + maximumPromptTokens) / 2.0;
        }

        double meanOutputTokens() {
            return (minimumOutputTokens + maximumOutputTokens) / 2.0;
        }

        double meanUncachedPromptTokens() {
            return meanPromptTokens() - sharedPrefixFraction * SHARED_PREFIX_TOKENS;
        }
    }

    static RequestMix named(String name) {
        return name.equals(CYNGOR.name) ? CYNGOR : LIGUSTRO;
    }

    Component sample(Random random) {
        double point = random.nextDouble();
        for (Component component : components) {
            point -= component.fraction();
            if (point < 0) {
                return component;
            }
        }
        return components.get(components.size() - 1);
    }
}
