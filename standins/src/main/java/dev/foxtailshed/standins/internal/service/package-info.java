/** The stand-in for a plain service. */
package dev.foxtailshed.standins.internal.service;
