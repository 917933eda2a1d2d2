package instance

import "medlarslip/internal/coordination/configuration"

// addConfiguration adds the parts that learn which document is in force.
func (a *assembly) addConfiguration() error {
	keys, err := a.settings.Keys.PublicKeys()
	if err != nil {
		return err
	}
	a.store = configuration.NewStore(keys)
	a.followers = append(a.followers, configuration.NewFollower(a.store, a.log).Run)
	return nil
}
