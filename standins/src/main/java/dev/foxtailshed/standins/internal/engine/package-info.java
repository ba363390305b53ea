/** The stand-in for a model engine. */
package dev.foxtailshed.standins.internal.engine;
