/**
 * Parsing of configurations: what a node makes of a configuration update that it receives, and what
 * the primary makes of the committed text.
 *
 * <p>{@link org.otterpond.control.configuration.ParsedConfiguration} is immutable. {@link
 * org.otterpond.control.configuration.ConfigurationUpdateParser} may run on another thread than the
 * owner thread, as it touches only what it was given; {@link
 * org.otterpond.control.configuration.ConfigurationParsing} decides which.
 *
 * <p>May depend on {@code control.message}, {@code runtime}, {@code protocol} and {@code config}.
 */
package org.otterpond.control.configuration;
