package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.EngineSettings;

/**
 * The faults of an engine; values that are null default to the settings of the engine.
 *
 * @param slowFactor the factor on the duration of steps and of prefill
 * @param linkFactor the factor on the duration of imports
 * @param cacheEventLossPercent the percentage of cache events that are never published
 * @param loadLagMillis the age of the reported load
 */
record EngineFaults(
        Double slowFactor, Double linkFactor, Double cacheEventLossPercent, Long loadLagMillis) {

    static EngineFaults none(EngineSettings settings) {
        return new EngineFaults(null, null, null, null).withDefaults(settings);
    }

    EngineFaults withDefaults(EngineSettings settings) {
        return new EngineFaults(
                slowFactor == null ? Double.valueOf(1) : slowFactor,
                linkFactor == null ? Double.valueOf(1) : linkFactor,
                cacheEventLossPercent == null
                        ? Double.valueOf(settings.cacheEventLossPercent)
                        : cacheEventLossPercent,
                loadLagMillis == null ? Long.valueOf(settings.loadLagMillis) : loadLagMillis);
    }

    boolean isValid() {
        return slowFactor > 0 && linkFactor > 0 && loadLagMillis >= 0;
    }
}
