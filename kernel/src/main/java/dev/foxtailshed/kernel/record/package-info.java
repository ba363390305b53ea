/**
 * The record of requests: the outcomes reported to callers, the runs of sidecars, and their audit.
 */
package dev.foxtailshed.kernel.record;
